//! Policy bench and load program.
