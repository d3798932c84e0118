"""An upgrade's handover: what the older process knows, and its clients' connections, go to the newer one."""
