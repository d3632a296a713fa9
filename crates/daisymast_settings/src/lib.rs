//! Checked JSON settings of the daisymast binaries.
