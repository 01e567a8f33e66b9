//! Control process of the fleet.
