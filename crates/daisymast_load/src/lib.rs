//! Open-loop load tool with per-kind waiting times.
