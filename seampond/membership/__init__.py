"""Selection of the agents an entry keeps links to, from the VM list."""

from seampond.membership.follow import follow_members as follow_members
