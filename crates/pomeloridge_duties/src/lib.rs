//! What one node does for the whole fleet, by lease: usage, ordering of backend
//! servers, and placement of roles.
