//! Placeholder of the binary.

fn main() {}
