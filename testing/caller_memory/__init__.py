"""One entry as a process, callers that hold its memory and connections, and what it takes."""
