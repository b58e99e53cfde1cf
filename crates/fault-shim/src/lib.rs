//! Injects system call failures into a node's process. Tests preload this library with `LD_PRELOAD`.
//!
//! It overrides four functions of the C library, which then fail, or transfer fewer bytes, as their Linux manual pages
//! document. The environment variable [`PLAN_VARIABLE`] names a TOML file with the fault plan. Without a plan, no call
//! fails.

mod plan;

pub use plan::{CallFault, CallFaultRule, FaultPlan, SystemCall};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The environment variable with the path of the plan.
pub const PLAN_VARIABLE: &str = "POPPYKEEL_FAULT_PLAN";

/// Number of calls of all kinds since the process started.
static CALL_COUNT: AtomicU64 = AtomicU64::new(0);

type AcceptFn = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type ConnectFn = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type ReceiveFn = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type SendFn = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// Counts a call and returns its fault; `None` if the call is not to fail.
fn next_fault(call: SystemCall) -> Option<CallFault> {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    let call_number = CALL_COUNT.fetch_add(1, Ordering::Relaxed);
    PLAN.get_or_init(load_plan).fault_for(call, call_number)
}

/// Loads the plan; an empty plan if the variable is not set or the file cannot be read.
///
/// # Panics
///
/// Panics if the file is not a valid plan. Otherwise a test could pass without its faults.
fn load_plan() -> FaultPlan {
    let Some(path) = std::env::var_os(PLAN_VARIABLE) else {
        return FaultPlan::default();
    };
    let Ok(text) = std::fs::read_to_string(path) else {
        return FaultPlan::default();
    };
    FaultPlan::parse(&text).expect("the fault plan is valid")
}

/// The original C library function with this name, cached in `cell`.
///
/// # Safety
///
/// `F` must be the type of the function with this name.
unsafe fn c_library_function<F: Copy>(cell: &OnceLock<F>, name: &CStr) -> F {
    *cell.get_or_init(|| {
        let address = libc::dlsym(libc::RTLD_NEXT, name.as_ptr());
        assert!(!address.is_null(), "{name:?} not found in the C library");
        std::mem::transmute_copy::<*mut c_void, F>(&address)
    })
}

fn set_errno(errno: c_int) {
    // SAFETY: `__errno_location` returns a valid pointer to the errno of this thread.
    unsafe { *libc::__errno_location() = errno }
}

/// Accepts a connection, or fails as planned.
///
/// # Safety
///
/// The same as for accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    listener: c_int,
    addr: *mut sockaddr,
    addr_length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    static REAL: OnceLock<AcceptFn> = OnceLock::new();
    let real = c_library_function(&REAL, c"accept4");
    match next_fault(SystemCall::Accept).and_then(CallFault::errno) {
        None => real(listener, addr, addr_length, flags),
        // On Linux the aborted connection is removed from the queue, so accept it and close it.
        Some(libc::ECONNABORTED) => {
            let accepted = real(listener, addr, addr_length, flags);
            if accepted >= 0 {
                libc::close(accepted);
                set_errno(libc::ECONNABORTED);
            }
            accepted.min(-1)
        }
        // The connection remains in the kernel's accept queue.
        Some(errno) => {
            set_errno(errno);
            -1
        }
    }
}

/// Reads from a socket, or fails as planned.
///
/// # Safety
///
/// The same as for recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(
    socket: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    static REAL: OnceLock<ReceiveFn> = OnceLock::new();
    let real = c_library_function(&REAL, c"recv");
    match transfer_length(SystemCall::Read, length) {
        Some(length) => real(socket, buffer, length, flags),
        None => -1,
    }
}

/// Writes to a socket, or fails as planned.
///
/// # Safety
///
/// The same as for send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    socket: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    static REAL: OnceLock<SendFn> = OnceLock::new();
    let real = c_library_function(&REAL, c"send");
    match transfer_length(SystemCall::Write, length) {
        Some(length) => real(socket, buffer, length, flags),
        None => -1,
    }
}

/// Maximum number of bytes that the next call may transfer. If the call is to fail, sets `errno` and returns `None`.
fn transfer_length(call: SystemCall, length: size_t) -> Option<size_t> {
    match next_fault(call) {
        None => Some(length),
        Some(CallFault::Short(max_bytes)) => Some(length.min(max_bytes.max(1))),
        Some(error) => {
            set_errno(error.errno().unwrap_or(libc::EINTR));
            None
        }
    }
}

/// Connects a socket, or fails as planned before anything is sent.
///
/// # Safety
///
/// The same as for connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(
    socket: c_int,
    addr: *const sockaddr,
    addr_length: socklen_t,
) -> c_int {
    static REAL: OnceLock<ConnectFn> = OnceLock::new();
    let real = c_library_function(&REAL, c"connect");
    match next_fault(SystemCall::Connect).and_then(CallFault::errno) {
        Some(errno) => {
            set_errno(errno);
            -1
        }
        None => real(socket, addr, addr_length),
    }
}
