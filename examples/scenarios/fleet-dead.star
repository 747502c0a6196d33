# Half of the endpoints of two destinations fail for 6 s and return cold. Gossip between the senders works, or not: with
# --set lost=1 all of it is lost, and with --set parts=2 or more the fleet is partitioned into that many parts from 10 s
# on. --set mode=1: the endpoints hang; 2: they answer with errors; 3: they are four times slower.
#
#     cleathold lab sim examples/scenarios/fleet-dead.star --set senders=250 --set rate=500 --out RUN
#     cleathold lab outages RUN

senders, rate, lost, parts_of = param("senders", 40), param("rate", 240), param("lost", 0), param("parts", 1)
dead, mode = param("dead", 0.5), ["DOWN", "SILENT", "FAILING", "SLOW"][int(param("mode", 0))]
scenario(name = "fleet-dead", seconds = 32, senders = senders, zones = ["bldg-a", "bldg-b"], slots = (4, 4), hold = (16, 16), notes_lost = lost)

kind(name = "wide", limit = "none", headroom = (4, 4), batch = 1, conns = (60, 60), least_conns = (600, 600), cv = (0.2, 0.2))
fleet(kind = "wide", destinations = 2, weight = 1, endpoints = 6)

traffic(rate = rate, zipf = (0, 0), retries = 1)
message_class(name = "status", share = 0.6, service = (0.03, 0.04), aim = 0.8, deadline = 6, late = 0.1)
message_class(name = "print-order", share = 0.4, service = (0.03, 0.04), aim = 2, deadline = 10, effect = "keyed", memory = 7, late = 0.5)
tenant(name = "school-bands", share = 1)

[trouble(what = mode, factor = 4, at = 14, seconds = 6, kind = "wide", endpoints = dead) for _ in range(1) if dead > 0]
[parts(at = 10, seconds = 18, parts = parts_of, what = "CUT") for _ in range(1) if parts_of > 1]
