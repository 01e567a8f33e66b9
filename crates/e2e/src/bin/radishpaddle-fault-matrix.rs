//! Prints `docs/fault-matrix.md`.

fn main() {
    print!("{}", radishpaddle_e2e::matrix::page());
}
