"""One entry as a process, faulty targets that send without end, and the entry's peak memory."""
