//! A library that tests preload (`LD_PRELOAD`) into a node's process, so that its system calls fail as Linux documents. The
//! plan is a TOML file named by [`PLAN`]; without it every call passes. Nothing but tests loads this.

mod plan;

pub use plan::{Call, Fault, Plan, Rule};

use libc::{c_int, c_void, size_t, sockaddr, socklen_t, ssize_t};
use std::ffi::CStr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::OnceLock;

/// The variable of the environment that names the plan.
pub const PLAN: &str = "POPPYKEEL_FAULT_PLAN";

static CALLS: AtomicU64 = AtomicU64::new(0);

type Accept4 = unsafe extern "C" fn(c_int, *mut sockaddr, *mut socklen_t, c_int) -> c_int;
type Connect = unsafe extern "C" fn(c_int, *const sockaddr, socklen_t) -> c_int;
type Recv = unsafe extern "C" fn(c_int, *mut c_void, size_t, c_int) -> ssize_t;
type Send = unsafe extern "C" fn(c_int, *const c_void, size_t, c_int) -> ssize_t;

/// What becomes of the next call of this kind.
fn fault(call: Call) -> Option<Fault> {
    static LOADED: OnceLock<Plan> = OnceLock::new();
    let load = || {
        let text = std::env::var_os(PLAN).and_then(|path| std::fs::read_to_string(path).ok());
        text.map_or_else(Plan::default, |text| {
            Plan::read(&text).expect("the plan of faults reads")
        })
    };
    LOADED
        .get_or_init(load)
        .draw(call, CALLS.fetch_add(1, Ordering::Relaxed))
}

/// The C library's own function.
///
/// # Safety
/// `F` has to be the type of the function of this name.
unsafe fn next<F: Copy>(cell: &OnceLock<F>, name: &CStr) -> F {
    *cell.get_or_init(|| {
        let found = libc::dlsym(libc::RTLD_NEXT, name.as_ptr());
        assert!(!found.is_null(), "{name:?} is in the C library");
        std::mem::transmute_copy::<*mut c_void, F>(&found)
    })
}

fn fail(errno: c_int) {
    // SAFETY: the location is this thread's own.
    unsafe { *libc::__errno_location() = errno }
}

/// Takes a connection, or fails as planned.
///
/// # Safety
/// As accept4(2).
#[no_mangle]
pub unsafe extern "C" fn accept4(
    fd: c_int,
    addr: *mut sockaddr,
    length: *mut socklen_t,
    flags: c_int,
) -> c_int {
    static REAL: OnceLock<Accept4> = OnceLock::new();
    let real = next(&REAL, c"accept4");
    match fault(Call::Accept).and_then(Fault::errno) {
        None => real(fd, addr, length, flags),
        // The connection is over with the error.
        Some(libc::ECONNABORTED) => {
            let taken = real(fd, addr, length, flags);
            if taken >= 0 {
                libc::close(taken);
                fail(libc::ECONNABORTED);
            }
            taken.min(-1)
        }
        // The connection stays in the kernel's queue.
        Some(errno) => {
            fail(errno);
            -1
        }
    }
}

/// Reads, or fails as planned.
///
/// # Safety
/// As recv(2).
#[no_mangle]
pub unsafe extern "C" fn recv(
    fd: c_int,
    buffer: *mut c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    static REAL: OnceLock<Recv> = OnceLock::new();
    let real = next(&REAL, c"recv");
    match fault(Call::Read) {
        Some(Fault::Short(most)) => real(fd, buffer, length.min(most.max(1)), flags),
        Some(error) => {
            fail(error.errno().unwrap_or(libc::EINTR));
            -1
        }
        None => real(fd, buffer, length, flags),
    }
}

/// Writes, or fails as planned.
///
/// # Safety
/// As send(2).
#[no_mangle]
pub unsafe extern "C" fn send(
    fd: c_int,
    buffer: *const c_void,
    length: size_t,
    flags: c_int,
) -> ssize_t {
    static REAL: OnceLock<Send> = OnceLock::new();
    let real = next(&REAL, c"send");
    match fault(Call::Write) {
        Some(Fault::Short(most)) => real(fd, buffer, length.min(most.max(1)), flags),
        Some(error) => {
            fail(error.errno().unwrap_or(libc::EINTR));
            -1
        }
        None => real(fd, buffer, length, flags),
    }
}

/// Connects a socket, or fails as planned before anything is sent.
///
/// # Safety
/// As connect(2).
#[no_mangle]
pub unsafe extern "C" fn connect(fd: c_int, addr: *const sockaddr, length: socklen_t) -> c_int {
    static REAL: OnceLock<Connect> = OnceLock::new();
    let real = next(&REAL, c"connect");
    match fault(Call::Connect).and_then(Fault::errno) {
        Some(errno) => {
            fail(errno);
            -1
        }
        None => real(fd, addr, length),
    }
}
