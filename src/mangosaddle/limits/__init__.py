"""Fleet-wide allowances: token buckets, slots and loans between VMs."""
