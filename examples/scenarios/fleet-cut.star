# The rate limit of one destination is halved, below its traffic, while many senders share it. Gossip between the
# senders works, or is cut: with --set parts=2 or more, the fleet is partitioned into that many parts from 12 to 22 s.
# Later some endpoints of another destination fail.
#
#     cleathold lab sim examples/scenarios/fleet-cut.star --set senders=250 --set rate=500 --set parts=250 --out RUN
#     cleathold lab limits RUN

senders, rate, parts_of = param("senders", 40), param("rate", 240), param("parts", 1)
scenario(name = "fleet-cut", seconds = 40, senders = senders, zones = ["bldg-a", "bldg-b"], slots = (3, 3), hold = (12, 12))

kind(name = "shared", limit = "rate", headroom = (1.4, 1.4), least = (4, 4), span = 1, batch = 1, tells_wait = (0, 0), endpoints = (2, 2),
     conns = (60, 60), least_conns = (400, 400), spare = (1.5, 1.5), cv = (0.2, 0.2))
kind(name = "wide", limit = "none", headroom = (4, 4), batch = 1, endpoints = (6, 6), conns = (60, 60), least_conns = (400, 400), cv = (0.2, 0.2))
fleet(kind = "shared", destinations = 1, weight = 1)
fleet(kind = "wide", destinations = 2, weight = 2)

traffic(rate = rate, zipf = (0, 0), retries = 1)
message_class(name = "status", share = 0.6, service = (0.03, 0.04), aim = 0.8, deadline = 6, late = 0.1)
message_class(name = "print-order", share = 0.4, service = (0.03, 0.04), aim = 2, deadline = 10, effect = "keyed", memory = 7, late = 0.5)
tenant(name = "school-bands", share = 1)

trouble(what = "CUT", at = 12, seconds = 20, kind = "shared", factor = 0.5)
trouble(what = "DOWN", at = 34, seconds = 4, kind = "wide", part = 0.4, zone = "bldg-a")

[parts(at = 12, seconds = 10, parts = parts_of, what = "CUT") for _ in range(1) if parts_of > 1]
