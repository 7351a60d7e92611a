//! The command line of the distribution.

fn main() {}
