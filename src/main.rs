//! The node: see `poppykeel --help`.

fn main() -> std::process::ExitCode {
    poppykeel::program::main()
}
