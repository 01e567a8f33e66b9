//! Prints the contents of `docs/fault-matrix.md`.

fn main() {
    print!("{}", radishpaddle_e2e::matrix::render_page());
}
