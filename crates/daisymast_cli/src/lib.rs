//! Operator command: validate, submit, diff, status, retire and time line.
