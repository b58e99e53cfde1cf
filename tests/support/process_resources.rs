//! Sockets and threads of a process, read from `/proc`.

use std::collections::BTreeSet;

/// The value of the state column of `/proc/net/tcp` for a listening socket.
const LISTENING: &str = "0A";

/// Numbers of sockets and threads of a process.
#[derive(Debug, PartialEq)]
pub struct ProcessResources {
    pub datagram_sockets: usize,
    pub listeners: usize,
    pub threads: usize,
}

impl ProcessResources {
    /// Counts the current resources of the process with this id.
    pub fn for_process(process: u32) -> ProcessResources {
        let threads = std::fs::read_dir(format!("/proc/{process}/task")).unwrap();
        ProcessResources {
            datagram_sockets: count_sockets(process, "udp", None),
            listeners: count_sockets(process, "tcp", Some(LISTENING)),
            threads: threads.count(),
        }
    }
}

/// The inodes of a process's sockets.
fn socket_inodes(process: u32) -> BTreeSet<String> {
    let mut inodes = BTreeSet::new();
    for descriptor in std::fs::read_dir(format!("/proc/{process}/fd")).unwrap() {
        let link = descriptor.and_then(|descriptor| std::fs::read_link(descriptor.path()));
        let Ok(link) = link else {
            continue;
        };
        let target = link.to_string_lossy();
        let inode = target
            .strip_prefix("socket:[")
            .and_then(|target| target.strip_suffix(']'));
        inodes.extend(inode.map(String::from));
    }
    inodes
}

/// Counts the rows of a table of `/proc/net` (`tcp` or `udp`) that are sockets of the process. With `state`, counts only rows
/// in that state.
fn count_sockets(process: u32, table: &str, state: Option<&str>) -> usize {
    let inodes = socket_inodes(process);
    let table = std::fs::read_to_string(format!("/proc/{process}/net/{table}")).unwrap();
    let is_counted = |line: &&str| {
        let columns: Vec<&str> = line.split_whitespace().collect();
        state.is_none_or(|state| columns[3] == state) && inodes.contains(columns[9])
    };
    table.lines().skip(1).filter(is_counted).count()
}
