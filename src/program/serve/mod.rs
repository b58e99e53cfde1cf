//! `poppykeel serve`: runs a node until it is told to shut down.
//!
//! [`serve`] makes the runtime, `node` puts the node together from its tasks, `reload` replaces its settings at SIGHUP
//! and `shutdown` ends it in order. All tasks of a node share one thread.

mod error;
mod listeners;
mod node;
mod reload;
mod shutdown;
mod signals;

pub use error::{ReloadError, ServeError};

use super::config::operator::OperatorConfig;
use super::config::NodeConfig;
use super::files::SettingsFileError;
use node::Node;
use signals::{NodeSignal, NodeSignals};
use tokio::task::LocalSet;

/// For tests alone: if this environment variable holds the id of the process that started this one, both end together,
/// however that one ends.
const END_WITH_PARENT_VARIABLE: &str = "POPPYKEEL_TEST_WITH_PARENT";
/// The exit code after a panic, which is that of a Rust program without a runtime.
const PANIC_EXIT_CODE: i32 = 101;

/// The settings of a node, as read from its files.
pub struct ServeSettings {
    /// The platform's configuration.
    pub node: NodeConfig,
    /// The operators' file.
    pub operator: OperatorConfig,
}

/// Serves until the process is told to shut down and all requests have ended. At SIGHUP `read_again` reads the settings as
/// they are by then.
///
/// # Errors
/// Where the node can't start.
pub fn serve(
    settings: ServeSettings,
    read_again: impl Fn() -> Result<ServeSettings, SettingsFileError>,
) -> Result<(), ServeError> {
    if let Ok(parent) = std::env::var(END_WITH_PARENT_VARIABLE) {
        let kill = Some(rustix::process::Signal::KILL);
        rustix::process::set_parent_process_death_signal(kill).map_err(|error| {
            ServeError::ParentDeathSignal {
                variable: END_WITH_PARENT_VARIABLE,
                source: error.into(),
            }
        })?;
        // The parent may have ended before the signal was set, and then it never comes.
        let current = rustix::process::getppid().map(rustix::process::Pid::as_raw_pid);
        if current.map(|id| id.to_string()) != Some(parent) {
            return Ok(());
        }
    }
    exit_on_panic();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(ServeError::Runtime)?;
    LocalSet::new().block_on(&runtime, run(settings, read_again))
}

/// Ends the process where a task panics. The runtime would keep the panic inside its task, and the node would go on without
/// that task.
fn exit_on_panic() {
    let report_panic = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report_panic(panic);
        std::process::exit(PANIC_EXIT_CODE);
    }));
}

async fn run(
    settings: ServeSettings,
    read_again: impl Fn() -> Result<ServeSettings, SettingsFileError>,
) -> Result<(), ServeError> {
    let mut signals = NodeSignals::install()?;
    let mut node = Node::start(settings).await?;
    while signals.next().await == NodeSignal::Reload {
        node.reload(&read_again).await;
    }
    node.shut_down().await;
    Ok(())
}
