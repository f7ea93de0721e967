"""Histories of the core, from a seed: the real rules of chain and view on a simulated network, clock and disk.

Three or five machines lose power (with writes half done), lose their disks, are cut off (both ways or one), frozen with
their sockets filling, or have disks that refuse or stall, for up to 25 s in some histories, while two operators read
and replace the configuration, now and then both at once on one version, each through the machines that it reaches, in
some histories 2,000 times one after another. Roots announce themselves and their version to nodes downstream. In every
fourth history bodies are large. Invariants are checked after each step, and in the end what the operators saw must be
linearizable. What happens is a plan; one that fails is shrunk by leaving out what it fails without.

Each module imports only those above it:

| module | what it is |
| --- | --- |
| `plans` | what happens in a history, from its seed |
| `invariants`, `downstream` | what must hold: of the operators' calls, and of the nodes downstream |
| `events`, `vector_clocks`, `network`, `disks` | simulated time, proofs of contact, network and disks |
| `observer` | checks over all machines, after each step |
| `simulated_core` | the machines |
| `troubles`, `callers`, `world`, `operators` | what disturbs the machines, and who calls them |
| `faults` | rules that are left out on purpose, each of which some history must show |
| `runner` | play, search and shrink |
"""
