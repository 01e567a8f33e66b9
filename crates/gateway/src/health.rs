//! Health of one backend server as placement by requests in flight estimates it.

pub use radishpaddle_policy::placement::Health;
