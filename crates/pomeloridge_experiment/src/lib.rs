//! Load with a swinging mix, and what callers got for it.
