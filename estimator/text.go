package estimator

// pageText is the template of docs/CAPACITY.md.
const pageText = "# Capacity\n\n" + `This page is written by ` + "`make capacity`" + `, which measures the slopes anew. It
gives each role at the size that the fleet must grow to: 7,100 instances before
61,000 backend servers in 2,700 services, 22,000 routes, 1.1 million requests a
second, 24 failure domains, 4,900 changes of configuration and 13,000 restarts a
day. Budgets of one instance for control: 1% of a core, 32 MB, 16 KB a second.
Figures over their budget are marked **over**.

## Roles at that size

Messages and bytes are a second, sent and received together. The processor time
of a serving instance is that of its decisions about requests, which is traffic
and not control; it stands here to show that it fits.

| role | state | messages/s | bytes/s | core | memory | mechanism |
| --- | --- | --- | --- | --- | --- | --- |
{{range .Roles}}| {{.Name}} | {{.State}} | {{num .Messages}} | {{kb .Bytes}}{{obytes .Bytes}} | {{pct .Core}}{{ocore .Core}} | {{mb .Memory}}{{omem .Memory}} | {{.Mechanism}} |
{{end}}
An instance has {{.Links}} links at that size: it dials 13 and accepts as many.
One request is decided in {{us .Request}} of the control goroutine.

## The store at that size

Calls a second of the whole fleet. Budgets: 300 writes and 2,000 reads.

| situation | writes/s | reads/s | waiting watches | mechanism |
| --- | --- | --- | --- | --- |
{{range .Stores}}| {{.Situation}} | {{num .Writes}}{{owrite .Writes}} | {{num .Reads}}{{oread .Reads}} | {{.Waiting}} | {{.Mechanism}} |
{{end}}
## Measured: members known to one instance

| members | heap | gossip tick | change of one record | dump |
| --- | --- | --- | --- | --- |
{{range .Members}}| {{.Size}} | {{mb .Memory}} | {{us .Tick}} | {{us .Change}} | {{us .Dump}} |
{{end}}
## Measured: services known to one instance among 200

It serves 1.5% of them; each has 22 backend servers and 9 routes.

| services | heap | tick | new list of one service |
| --- | --- | --- | --- |
{{range .Services}}| {{.Size}} | {{mb .Memory}} | {{us .Tick}} | {{us .Change}} |
{{end}}
## Measured: whole fleets without traffic, in one process

Every instance has its own listeners, links and control goroutine. Heap and
processor time include the stand-ins of the platform and of six backend servers.
For fleets of real processes see MEASURES.md.

| instances | sent by one | messages/s | core of one | heap of one | store calls/s | waiting watches |
| --- | --- | --- | --- | --- | --- | --- |
{{range .Fleets}}| {{.Instances}} | {{kb .Bytes}}/s | {{num .Messages}} | {{pct .Core}} | {{mb .Memory}} | {{num .Calls}} | {{.Waiting}} |
{{end}}
## Measured: lengths of messages

| message | bytes |
| --- | --- |
| heartbeat | {{num .Sizes.Heartbeat}} |
| digest | {{num .Sizes.Digest}} |
| one member record | {{num .Sizes.Member}} |
| one reference | {{num .Sizes.Reference}} |
| one declaration with 9 routes | {{num .Sizes.Declaration}} |
| one list of 22 backend servers | {{num .Sizes.Backends}} |
| evidence about 22 backend servers | {{num .Sizes.Evidence}} |
| one tally | {{num .Sizes.Tally}} |

## What the computation leaves out

The heap of the Go runtime, of HTTP connections and of TLS is not control state
and is not counted. The garbage collector lets the heap grow to twice the live
state between collections. Bytes do not include TCP and IP headers.

## Under a routing

Computed from the periods and lengths in the code, not from these slopes; a calm
day of 48 instances on the operators' bench gave 0.006 cores and 17 MB for each
process as a whole.

| mechanism | at 48 | at 7,100 | budget |
| --- | --- | --- | --- |
| pulses: two origins, 3.3 a second, a tree with eight branches, 60 bytes | 7 in, 7 out a second on average, 53 out within the tree | the same; depth 5 instead of 2 | holds: 0.8 KB/s, 3 KB/s within the tree |
| calls to the store by the two followers | 10 a second | the same, and two ranges for each start: 0.3 a second | holds |
| calls of those without pulses | none in calm | 5 a second for each cut off instance | holds up to 400 at once |
| outcomes between the instances named | 6 x 5 x 3 services x 3 a second, 10 while most slots are in use, and one for each failure | every instance named serves every service: 2,700 services | **over**: hosts must be divided among groups of instances, as serving sets do without a routing |
| bulletins | 3 a second down the tree | 2,700 a second | **over** for the same reason |
| the routing as one document | 2 KB | 22,000 routes, about 3 MB | **over** a value of 1 MB; it must come in parts |
| lists as one document for each service | 2 KB | 22 backend servers each, changes of one service only | holds |

What would mend it: groups of hosts with common services, each with its own named
instances, trees and outcomes. It is not built.
`
