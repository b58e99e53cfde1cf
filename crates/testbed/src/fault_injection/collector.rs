//! The stub server to which the fleet's report task sends its reports. It rejects epochs below the highest one that it
//! has received, and records every report as an action under the lease.

use super::error::FaultInjectionError;
use super::lease_verdict::{LeasedAction, ProcessName};
use super::run_history::RunHistory;
use serde_json::{json, Value};
use std::cell::{Ref, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

const MAX_REQUEST_BYTES: usize = 64 * 1024;
const READ_BYTES: usize = 4096;

/// The stub. Clones share the record of actions.
#[derive(Clone)]
pub(super) struct ReportCollector {
    address: SocketAddr,
    /// All actions, in the order of their arrival.
    actions: Rc<RefCell<Vec<LeasedAction>>>,
    history: RunHistory,
    rejects_old_epochs: bool,
}

impl ReportCollector {
    /// Starts the stub. Its task runs until the enclosing `LocalSet` is dropped. If `rejects_old_epochs` is false, only
    /// duplicates are rejected.
    pub(super) async fn start(
        history: RunHistory,
        rejects_old_epochs: bool,
    ) -> Result<ReportCollector, FaultInjectionError> {
        let listener = TcpListener::bind("127.0.0.1:0")
            .await
            .map_err(FaultInjectionError::Collector)?;
        let address = listener
            .local_addr()
            .map_err(FaultInjectionError::Collector)?;
        let collector = ReportCollector {
            address,
            actions: Rc::default(),
            history,
            rejects_old_epochs,
        };
        spawn_local(collector.clone().accept_connections(listener));
        Ok(collector)
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) fn actions(&self) -> Ref<'_, Vec<LeasedAction>> {
        self.actions.borrow()
    }

    pub(super) fn last_accepted(&self) -> Option<LeasedAction> {
        let actions = self.actions.borrow();
        actions
            .iter()
            .rev()
            .find(|action| action.is_accepted)
            .cloned()
    }

    async fn accept_connections(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let collector = self.clone();
            spawn_local(async move { collector.serve(stream).await });
        }
    }

    /// Reads one report, records it and responds. Returns `None` if the connection ends before that.
    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        let report = read_report(&mut stream).await?;
        let holder = ProcessName {
            node: report["node"].as_str()?.to_string(),
            incarnation: report["incarnation"].as_str()?.to_string(),
        };
        let is_accepted = self.record(report["epoch"].as_u64()?, report["slot"].as_u64()?, holder);
        let status = if is_accepted {
            "200 OK"
        } else {
            "409 Conflict"
        };
        let response =
            format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        stream.write_all(response.as_bytes()).await.ok()
    }

    /// Records an action. Returns whether it is accepted.
    fn record(&self, epoch: u64, interval: u64, holder: ProcessName) -> bool {
        let mut actions = self.actions.borrow_mut();
        let highest_epoch = actions.iter().map(|action| action.epoch).max().unwrap_or(0);
        let is_duplicate = actions
            .iter()
            .rev()
            .any(|action| action.is_accepted && action.interval == interval);
        let is_fenced = self.rejects_old_epochs && epoch < highest_epoch;
        let is_accepted = !is_fenced && !is_duplicate;
        let at = self.history.now();
        self.history.add(
            "act",
            &json!({"epoch": epoch, "node": holder.node, "incarnation": holder.incarnation, "slot": interval, "taken": is_accepted}),
        );
        actions.push(LeasedAction {
            at,
            epoch,
            holder,
            interval,
            is_accepted,
            is_duplicate,
        });
        is_accepted
    }
}

/// Reads the JSON body of one request.
async fn read_report(stream: &mut TcpStream) -> Option<Value> {
    let mut request = Vec::new();
    loop {
        let mut buffer = [0; READ_BYTES];
        let length = stream.read(&mut buffer).await.ok()?;
        if length == 0 {
            return None;
        }
        request.extend_from_slice(&buffer[..length]);
        let text = std::str::from_utf8(&request).ok()?;
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            if body.len() >= content_length(head)? {
                return serde_json::from_str(body).ok();
            }
        }
        if request.len() > MAX_REQUEST_BYTES {
            return None;
        }
    }
}

fn content_length(head: &str) -> Option<usize> {
    head.lines()
        .find_map(|line| line.strip_prefix("Content-Length: ")?.parse().ok())
}
