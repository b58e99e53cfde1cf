//! A library that tests preload (`LD_PRELOAD`) into a node's process, so that its system calls fail as Linux documents.
//!
//! It replaces four functions of the C library. The plan is a TOML file that the variable [`PLAN_VARIABLE`] names; without it
//! every call passes. Only tests load this library.

mod plan;

pub use plan::{CallFault, CallFaultRule, FaultPlan, SystemCall};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The environment variable that names the file of the plan.
pub const PLAN_VARIABLE: &str = "POPPYKEEL_FAULT_PLAN";

/// Calls of all kinds since the start of the process.
static CALL_COUNT: AtomicU64 = AtomicU64::new(0);

type AcceptFn = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type ConnectFn = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type ReceiveFn = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type SendFn = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// The fault of the next call, which is of this kind; `None` if it succeeds.
fn next_fault(call: SystemCall) -> Option<CallFault> {
    static PLAN: OnceLock<FaultPlan> = OnceLock::new();
    let call_number = CALL_COUNT.fetch_add(1, Ordering::Relaxed);
    PLAN.get_or_init(load_plan).fault_for(call, call_number)
}

/// Reads the plan.
///
/// # Panics
///
/// Panics if the file is not a plan: the test that wrote it must not pass without its faults.
fn load_plan() -> FaultPlan {
    let Some(path) = std::env::var_os(PLAN_VARIABLE) else {
        return FaultPlan::default();
    };
    let Ok(text) = std::fs::read_to_string(path) else {
        return FaultPlan::default();
    };
    FaultPlan::parse(&text).expect("the file is a plan of faults")
}

/// The C library's own function of this name, looked up once.
///
/// # Safety
///
/// `F` must be the type of the function of this name.
unsafe fn c_library_function<F: Copy>(cell: &OnceLock<F>, name: &CStr) -> F {
    *cell.get_or_init(|| {
        let address = libc::dlsym(libc::RTLD_NEXT, name.as_ptr());
        assert!(!address.is_null(), "{name:?} is in the C library");
        std::mem::transmute_copy::<*mut c_void, F>(&address)
    })
}

fn set_errno(errno: c_int) {
    // SAFETY: the location belongs to this thread.
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
        // The connection is lost with this error.
        Some(libc::ECONNABORTED) => {
            let accepted = real(listener, addr, addr_length, flags);
            if accepted >= 0 {
                libc::close(accepted);
                set_errno(libc::ECONNABORTED);
            }
            accepted.min(-1)
        }
        // The connection stays in the kernel's queue.
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

/// How many bytes the next call of this kind may move; `None` if it fails, and then `errno` is set.
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
