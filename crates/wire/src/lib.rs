//! Peer protocol between the processes of the fleet.
