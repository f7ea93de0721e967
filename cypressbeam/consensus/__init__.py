"""Agreement on the chain of machines that store the configuration. Pure: messages, ticks and finished writes go in,
effects come out; nothing here opens a socket or a file, or reads a clock."""
