# Network links fail: the senders are partitioned into two halves, one sender receives nothing from the others, gossip
# is late or lost, a sender can't reach one destination, and a zone can't reach discovery. Senders are also stopped and
# continued, one loses its state folder, one is drained, and the settings change.

scenario(name = "links-fail", seconds = 70, senders = param("senders", 4), zones = ["bldg-a", "bldg-b"])

kind(name = "large-partners", limit = "rate", headroom = (1.3, 2.3), least = (2.1, 4.2), tells_wait = (0.62, 0.99),
     wait = (0.31, 0.99), batch = 5, apart = True)
kind(name = "small-partners", limit = "window", headroom = (1.2, 1.7), least = (1.5, 4.9), span = 1, refused_count = True,
     tells_wait = (0.1, 0.55), conns = (2.1, 3.8))
fleet(kind = "large-partners", destinations = (3, 5), weight = 2)
fleet(kind = "small-partners", destinations = (7, 10))

traffic(rate = param("rate", 40), clumps = (0.11, 0.18), clump = (1.3, 3.2), retries = 2)
message_class(name = "status", share = 0.55, service = (0.27, 0.47), aim = 0.8, deadline = 8, late = 0.1)
message_class(name = "print-order", share = 0.26, service = (0.18, 0.31), aim = 2, deadline = 20, effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.19, service = (0.27, 0.47), aim = 2, deadline = 16, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 0.6)
tenant(name = "library-scores", share = 0.4)

churn(at = 6, every = 9, drain = 3)
trouble(what = "CUT", at = 9, seconds = 14, factor = 0.5, part = 0.4)

parts(at = 8, seconds = 10, parts = 2, what = "CUT")
link(at = 12, seconds = 8, of = "n1", to = "destination/1", what = "SILENT")
link(at = 20, seconds = 8, of = "senders", to = "n0", one_way = True, what = "SILENT")
link(at = 22, seconds = 6, of = "n2", to = "destination/2", what = "CUT")
link(at = 26, seconds = 8, of = "bldg-b", to = "discovery", what = "CUT")
link(at = 29, seconds = 3, of = "n1", to = "clients", one_way = True, what = "SILENT")
link(at = 36, seconds = 10, of = "senders", to = "senders", delay = 0.3, jitter = 0.4, loss = 0.5, double = 0.2, reorder = 0.1)
sender(share = 0.25, at = 15, what = "stop", seconds = 4)
sender(number = 2, at = 32, what = "drain", seconds = 5)
sender(share = 0.5, at = 40, what = "retune", slots = 0.5, hold = 0.7)
sender(share = 0.5, at = 48, what = "kill", spread = 1)
sender(number = 0, at = 56, what = "wipe")
