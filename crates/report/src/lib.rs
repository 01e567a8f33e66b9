//! Service-level burn report: who was served how well, what spent the error budget, and which journal
//! events explain it.

pub mod burn;
pub mod classify;
pub mod cli;
pub mod events;
pub mod exposition;
pub mod html;
pub mod samples;
pub mod source;
pub mod text;
pub mod time;
