//! Replicas that serve requests and probes. A replica can drain, or hang: it then responds only after 30 s.

use super::plan::{Plan, REPLICA_COUNT};
use super::records::{RecordsRef, ReplicaRecord};
use super::streams::DrawnStream;
use super::support::http_head::{header, read_head};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PROBE_RESPONSE: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
const UNAVAILABLE: &str = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
const DECLINED: &str =
    "HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n";
const TIME_TO_FIRST_TOKEN: Duration = Duration::from_millis(20);
/// Time after which a hanging replica responds; longer than any deadline.
const HANG_TIME: Duration = Duration::from_secs(30);

/// A replica on threads of its own.
pub struct Replica {
    pub addr: SocketAddr,
    is_draining: Arc<AtomicBool>,
}

impl Replica {
    pub fn start(index: usize, plan: Arc<Plan>, records: RecordsRef) -> Replica {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        let is_draining = Arc::new(AtomicBool::new(false));
        let draining = is_draining.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (draining, records, plan) = (draining.clone(), records.clone(), plan.clone());
                std::thread::spawn(move || serve(index, &plan, stream, &draining, &records));
            }
        });
        Replica { addr, is_draining }
    }

    /// Declines requests and probes from now on.
    pub fn drain(&self) {
        self.is_draining.store(true, Ordering::SeqCst);
    }
}

fn serve(
    index: usize,
    plan: &Plan,
    mut stream: TcpStream,
    draining: &AtomicBool,
    records: &RecordsRef,
) {
    let hangs = plan.has_hanging_replica && index == REPLICA_COUNT - 1;
    // Fails if the peer has disconnected; the next read then ends this thread.
    let _ = stream.set_nodelay(true);
    while let Some(head) = read_head(&mut stream) {
        let received_at = records.clock.now();
        let is_declined = draining.load(Ordering::SeqCst);
        if head.starts_with("GET ") {
            let answer = [PROBE_RESPONSE, UNAVAILABLE][usize::from(is_declined)];
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
            continue;
        }
        // A close with unread bytes would be a reset.
        let length = header(&head, "Content-Length").and_then(|text| text.parse().ok());
        if stream
            .read_exact(&mut vec![0; length.unwrap_or(0)])
            .is_err()
        {
            return;
        }
        let id = header(&head, "Req-Id").unwrap_or_default();
        let mut response = DrawnStream::draw(plan, &id);
        let deadline = header(&head, "Req-Deadline").and_then(|text| text.parse().ok());
        records.all.replicas.lock().unwrap().push(ReplicaRecord {
            id,
            stream: response.kind,
            replica: index,
            received_at,
            deadline: Duration::from_secs_f64(deadline.unwrap_or(0.0)),
            is_declined,
        });
        if answer(&mut stream, is_declined, hangs, &mut response).is_err() {
            return;
        }
    }
}

fn answer(
    stream: &mut TcpStream,
    is_declined: bool,
    hangs: bool,
    response: &mut DrawnStream,
) -> std::io::Result<()> {
    if is_declined {
        return stream.write_all(DECLINED.as_bytes());
    }
    std::thread::sleep(if hangs {
        HANG_TIME
    } else {
        TIME_TO_FIRST_TOKEN
    });
    response.write(stream)
}
