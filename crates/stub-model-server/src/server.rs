//! Stand-ins on loopback sockets: any number of servers on one thread of their own, which ends with them.

#![expect(
    clippy::min_ident_chars,
    clippy::missing_errors_doc,
    clippy::too_many_lines,
    reason = "not yet converted"
)]

use crate::answer::{plan, Ask, Step};
use crate::script::{Fault, Script};
use socket2::SockRef;
use std::collections::{BTreeMap, BTreeSet};
use std::io::Error;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};

/// The longest head and body that are read, in bytes.
const MOST_REQUEST: usize = 512 * 1024;
/// Pieces that nobody asked for and that wait to be written on one connection.
const UNASKED: usize = 64;
/// Requests that are recorded; further ones are only counted.
const MOST_RECORDS: usize = 200_000;

/// What a server noted of one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// The server's number.
    pub server: usize,
    /// The request's id, as it came.
    pub id: String,
    /// Its prompt.
    pub prompt: String,
    /// Tokens of the answer that it held already.
    pub done: usize,
    /// Tokens of this answer, had all of it been sent.
    pub tokens: usize,
    /// Bytes of the body that were written.
    pub written: usize,
    /// All of the plan was carried out.
    pub whole: bool,
}

struct Shared {
    scripts: Vec<Script>,
    fits: Vec<Vec<(u64, u64)>>,
    records: Vec<Record>,
    /// Prompts that a rule for first requests has befallen.
    befallen: BTreeSet<String>,
    answers: u64,
    /// Connections that wait for a request, by server and number: what is sent there is written, asked or not.
    idle: BTreeMap<(usize, u64), mpsc::Sender<Vec<u8>>>,
    connections: u64,
    unasked: u64,
}

/// Running stand-ins; dropping them ends them.
pub struct Standin {
    addrs: Vec<SocketAddr>,
    shared: Arc<Mutex<Shared>>,
    _end: oneshot::Sender<()>,
}

fn lock(shared: &Mutex<Shared>) -> MutexGuard<'_, Shared> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Standin {
    /// One server for each script, on free ports of the loopback address.
    pub fn start(scripts: Vec<Script>) -> Result<Standin, Error> {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build()?;
        let listen = |_: &Script| {
            let listener = std::net::TcpListener::bind("127.0.0.1:0")?;
            listener.set_nonblocking(true)?;
            Ok(listener)
        };
        let listeners: Vec<std::net::TcpListener> =
            scripts.iter().map(listen).collect::<Result<_, Error>>()?;
        let addrs = listeners
            .iter()
            .map(std::net::TcpListener::local_addr)
            .collect::<Result<_, Error>>()?;
        let fits = scripts.iter().map(|s| vec![(0, 0); s.rule.len()]).collect();
        let shared = Arc::new(Mutex::new(Shared {
            scripts,
            fits,
            records: Vec::new(),
            befallen: BTreeSet::new(),
            answers: 0,
            idle: BTreeMap::new(),
            connections: 0,
            unasked: 0,
        }));
        let (end, ended) = oneshot::channel();
        let own = shared.clone();
        std::thread::spawn(move || {
            runtime.block_on(async move {
                for (server, listener) in listeners.into_iter().enumerate() {
                    let Ok(listener) = TcpListener::from_std(listener) else {
                        continue;
                    };
                    tokio::spawn(accept(server, listener, own.clone()));
                }
                let _ = ended.await;
            });
        });
        Ok(Standin {
            addrs,
            shared,
            _end: end,
        })
    }

    /// Where they listen, in the order of the scripts.
    pub fn addrs(&self) -> &[SocketAddr] {
        &self.addrs
    }

    /// From now on this server goes by another script; answers under way go on.
    pub fn set(&self, server: usize, script: Script) {
        let mut shared = lock(&self.shared);
        shared.fits[server] = vec![(0, 0); script.rule.len()];
        shared.scripts[server] = script;
    }

    /// What was noted so far.
    pub fn records(&self) -> Vec<Record> {
        lock(&self.shared).records.clone()
    }

    /// Answers that were also written where nobody had asked.
    pub fn unasked(&self) -> u64 {
        lock(&self.shared).unasked
    }
}

async fn accept(server: usize, listener: TcpListener, shared: Arc<Mutex<Shared>>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let shared = shared.clone();
                tokio::spawn(async move {
                    let _ = connection(server, stream, &shared).await;
                });
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

/// The head's end and the body's length, the request's id and its path.
type Head = (usize, usize, String, String);

fn head(bytes: &[u8]) -> Option<Head> {
    let mut headers = [httparse::EMPTY_HEADER; 64];
    let mut request = httparse::Request::new(&mut headers);
    let Ok(httparse::Status::Complete(end)) = request.parse(bytes) else {
        return None;
    };
    let find = |name: &str| {
        let header = request
            .headers
            .iter()
            .find(|h| h.name.eq_ignore_ascii_case(name));
        header.map(|h| String::from_utf8_lossy(h.value).into_owned())
    };
    let length = find("content-length")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0);
    Some((
        end,
        length,
        find("req-id").unwrap_or_default(),
        request.path.unwrap_or_default().to_string(),
    ))
}

/// Takes a connection off the list of idle ones once it ends.
struct Idle<'a> {
    shared: &'a Mutex<Shared>,
    key: (usize, u64),
}

impl Drop for Idle<'_> {
    fn drop(&mut self) {
        lock(self.shared).idle.remove(&self.key);
    }
}

async fn connection(
    server: usize,
    mut stream: TcpStream,
    shared: &Mutex<Shared>,
) -> Result<(), Error> {
    stream.set_nodelay(true)?;
    let mut held = Vec::new();
    let mut piece = vec![0; 16 * 1024];
    let (unasked, mut told) = mpsc::channel(UNASKED);
    let number = {
        let mut shared = lock(shared);
        shared.connections += 1;
        shared.connections
    };
    let _idle = Idle {
        shared,
        key: (server, number),
    };
    loop {
        lock(shared).idle.insert((server, number), unasked.clone());
        let (end, length, id, path) = loop {
            match head(&held) {
                Some(head) if held.len() >= head.0 + head.1 => break head,
                _ if held.len() > MOST_REQUEST => return Ok(()),
                _ => {}
            }
            let size = tokio::select! {
                size = stream.read(&mut piece) => size?,
                Some(bytes) = told.recv() => {
                    stream.write_all(&bytes).await?;
                    continue;
                }
            };
            if size == 0 {
                return Ok(());
            }
            held.extend_from_slice(&piece[..size]);
        };
        lock(shared).idle.remove(&(server, number));
        let body: Vec<u8> = held.drain(..end + length).skip(end).collect();
        if path != "/v1/chat/completions" {
            stream
                .write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
                .await?;
            continue;
        }
        if !answer(server, &mut stream, &id, &body, shared).await? {
            return Ok(());
        }
    }
}

const HEAD: &str =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

/// Carries one plan out; false where the connection ends with it.
async fn answer(
    server: usize,
    stream: &mut TcpStream,
    id: &str,
    body: &[u8],
    shared: &Mutex<Shared>,
) -> Result<bool, Error> {
    let (plan, place, other) = {
        let mut shared = lock(shared);
        shared.answers += 1;
        let script = shared.scripts[server].clone();
        let ask = Ask::read(body, &script);
        let Shared { fits, befallen, .. } = &mut *shared;
        let fault = fault(&script, &ask, &mut fits[server], befallen);
        let plan = plan(
            &ask,
            &format!("stand-in-{server}-{}", shared.answers),
            &script,
            fault.as_ref(),
        );
        let mut others = shared.idle.range((server, 0)..=(server, u64::MAX));
        let other = others
            .next()
            .filter(|_| fault == Some(Fault::Twice))
            .map(|(_, other)| other.clone());
        let place = (shared.records.len() < MOST_RECORDS).then_some(shared.records.len());
        if place.is_some() {
            let (prompt, done, tokens) = (ask.prompt, ask.done, plan.tokens);
            let id = id.to_string();
            shared.records.push(Record {
                server,
                id,
                prompt,
                done,
                tokens,
                written: 0,
                whole: false,
            });
        }
        shared.unasked += u64::from(other.is_some());
        (plan, place, other)
    };
    let note = |written: usize, whole: bool| {
        let mut shared = lock(shared);
        if let Some(record) = place.and_then(|p| shared.records.get_mut(p)) {
            (record.written, record.whole) = (record.written + written, whole);
        }
    };
    if plan.status != 200 {
        let head = format!(
            "HTTP/1.1 {} Stand-in\r\nContent-Length: 0\r\n\r\n",
            plan.status
        );
        stream.write_all(head.as_bytes()).await?;
        note(0, true);
        return Ok(true);
    }
    let mut begun = false;
    for step in plan.steps {
        match step {
            Step::Wait(span) => wait(stream, span).await?,
            Step::Send(bytes) => {
                if !std::mem::replace(&mut begun, true) {
                    stream.write_all(HEAD.as_bytes()).await?;
                    other.iter().for_each(|o| drop(o.try_send(HEAD.into())));
                }
                other.iter().for_each(|o| drop(o.try_send(bytes.clone())));
                stream.write_all(&bytes).await?;
                note(bytes.len(), false);
            }
            Step::Close { reset } => {
                if reset {
                    let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                } else {
                    stream.shutdown().await?;
                }
                note(0, true);
                return Ok(false);
            }
        }
    }
    note(0, true);
    Ok(true)
}

/// Waits, but not for a client that has gone.
async fn wait(stream: &TcpStream, span: Duration) -> Result<(), Error> {
    if span.is_zero() {
        return Ok(());
    }
    let gone = async {
        match stream.peek(&mut [0]).await {
            Ok(0) => Err(Error::other("the client has gone")),
            Ok(_) => std::future::pending().await,
            Err(e) => Err(e),
        }
    };
    tokio::select! {
        () = tokio::time::sleep(span) => Ok(()),
        gone = gone => gone,
    }
}

fn fault(
    script: &Script,
    ask: &Ask,
    fits: &mut [(u64, u64)],
    befallen: &mut BTreeSet<String>,
) -> Option<Fault> {
    for (rule, (seen, done)) in script.rule.iter().zip(fits) {
        let prompt = rule.prompt.as_ref().is_none_or(|p| ask.prompt.contains(p));
        if !prompt || rule.continued.is_some_and(|c| c != (ask.done > 0)) {
            continue;
        }
        if rule.once && (befallen.len() >= MOST_RECORDS || !befallen.insert(ask.prompt.clone())) {
            continue;
        }
        *seen += 1;
        if (*seen - 1) % rule.every.max(1) == 0 && rule.most.is_none_or(|most| *done < most) {
            *done += 1;
            return Some(rule.fault.clone());
        }
    }
    None
}
