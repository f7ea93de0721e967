"""Randomized histories of the core from a seed: the real chain and view code on a simulated network, clock and disk.

Three or five machines lose power (with writes half done), lose their disks, are partitioned (both ways or one), paused
while their sockets fill, or have disks that refuse writes or stall, for up to 25 s in some histories. Meanwhile two
operators read and replace the configuration, sometimes both at once on the same version, each through the machines that
it reaches; in some histories 2,000 times in a row. Roots announce themselves and their version to downstream nodes. In
every fourth history bodies are large. Invariants are checked after each step, and at the end the operators' calls must
be linearizable. A plan lists the events of a history; a failing plan is shrunk to the steps that it needs to fail.

Each module imports only those above it:

| module | contents |
| --- | --- |
| `plans` | the faults and calls of a history, from its seed |
| `invariants`, `downstream` | invariants of the operators' calls, and of the downstream nodes |
| `events`, `vector_clocks`, `network`, `disks` | simulated time, proofs of quorum contact, network and disks |
| `observer` | checks across all machines, after each step |
| `simulated_core` | the machines |
| `fault_injection`, `callers`, `world`, `operators` | faults of the machines, and their callers |
| `faults` | rules of the core that are disabled on purpose; histories must detect each |
| `runner` | plays histories, searches for failing ones and shrinks them |
"""
