//! Writes the actions of an instance as lines of the reply.

use poppykeel_scheduler::Action;

/// Appends one action of the instance with this number to the reply. Times are in seconds with six decimals.
pub(crate) fn write_action(reply: &mut String, instance: u64, action: &Action) {
    let line = match action {
        Action::StartAttempt {
            request,
            replica,
            timeout,
            // In the simulator an attempt is sent when it is placed.
            write_timeout: _,
        } => format!("attempt {instance} {request} {} {timeout:.6}", replica.0),
        Action::Reject {
            request,
            retry_after,
        } => format!("say_no {instance} {request} {retry_after:.6}"),
        Action::Fail { request } => format!("abort {instance} {request}"),
        Action::CancelAttempt { request, attempt } => {
            format!("stop_attempt {instance} {request} {attempt}")
        }
        Action::Probe { replica } => format!("ping {instance} {}", replica.0),
        Action::WatchEndpoints => format!("subscribe {instance} 1"),
        Action::SetTimer { after } => format!("set_alarm {instance} {after:.6} 0"),
    };
    reply.push_str(&line);
    reply.push('\n');
}
