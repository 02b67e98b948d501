"""Which VMs live, how they are linked and what facts they share."""
