//! Clients that send requests to the node and measure their latencies.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// A client that receives no bytes for this long fails the run.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// The id of the next request; all clients share the counter.
static NEXT_REQUEST_ID: AtomicU64 = AtomicU64::new(1);

/// Clients that send one request after the other until they are stopped.
pub struct Clients {
    stop: Arc<AtomicBool>,
    threads: Vec<thread::JoinHandle<Vec<f64>>>,
}

impl Clients {
    /// Starts `client_count` clients. Each waits for `pause` after every response.
    pub fn start(node: SocketAddr, client_count: usize, pause: Duration) -> Clients {
        let stop = Arc::new(AtomicBool::new(false));
        let threads = (0..client_count)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || run_client(node, &stop, pause))
            })
            .collect();
        Clients { stop, threads }
    }

    /// Stops the clients and returns the latency of each request in milliseconds.
    pub fn stop(self) -> Vec<f64> {
        self.stop.store(true, Ordering::Relaxed);
        self.threads
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    }
}

fn run_client(node: SocketAddr, stop: &AtomicBool, pause: Duration) -> Vec<f64> {
    let mut latencies_ms = Vec::new();
    let mut stream = TcpStream::connect(node).unwrap();
    stream.set_nodelay(true).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    while !stop.load(Ordering::Relaxed) {
        let id = NEXT_REQUEST_ID.fetch_add(1, Ordering::Relaxed);
        let started_at = Instant::now();
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nReq-Id: {id:016x}\r\nReq-Kind: chat\r\n\
             Req-Deadline: 20\r\nContent-Length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).unwrap();
        read_response(&mut stream);
        latencies_ms.push(started_at.elapsed().as_secs_f64() * 1e3);
        thread::sleep(pause);
    }
    latencies_ms
}

/// Reads a stream up to its last chunk. Of a response with an error status, reads only the first bytes.
fn read_response(stream: &mut TcpStream) {
    let mut buffer = [0; 4096];
    let mut text = Vec::new();
    while !text.ends_with(b"0\r\n\r\n") {
        match stream.read(&mut buffer) {
            Ok(n @ 1..) => text.extend_from_slice(&buffer[..n]),
            end => panic!("{end:?} after {}", String::from_utf8_lossy(&text)),
        }
        if !text.starts_with(b"HTTP/1.1 2") {
            break;
        }
    }
}

/// A quantile of `values`; NaN if there are none. Sorts `values`.
pub fn quantile(values: &mut [f64], fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let rank = (values.len() as f64 * fraction).ceil() as usize;
    let index = rank.clamp(1, values.len().max(1)) - 1;
    values.get(index).copied().unwrap_or(f64::NAN)
}
