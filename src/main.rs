//! The node's executable. `poppykeel --help` prints its usage.

fn main() -> std::process::ExitCode {
    poppykeel::program::main()
}
