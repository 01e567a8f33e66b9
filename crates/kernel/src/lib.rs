//! Process kernel: plug-ins, settings, logs, metrics and journal.
