# Partners with half of the traffic are down for 5 s and return cold while 80 senders have messages for them.

senders, lost = param("senders", 80), param("lost", 0)
scenario(name = "fleet-return", seconds = 30, senders = senders, zones = ["bldg-a", "bldg-b"], slots = (1.8, 2.4), hold = (7.1, 11),
         notes_lost = lost)

kind(name = "large-partners", limit = "rate", headroom = (1.3, 1.6), least = (10, 12), tells_wait = (0.62, 0.99),
     wait = (0.31, 0.99), batch = 5, apart = True, refused_count = True)
kind(name = "small-partners", limit = "window", headroom = (1.2, 1.6), least = (10, 12), span = 1, refused_count = True,
     tells_wait = (0.1, 0.55), conns = (2.1, 3.8), least_conns = (6, 16))
fleet(kind = "large-partners", destinations = 2, weight = 2)
fleet(kind = "small-partners", destinations = 5)

traffic(rate = 500, clumps = (0.11, 0.18), clump = (1.3, 3.2), retries = 1)
ramp(at = 0, factor = 0.8)
message_class(name = "status", share = 0.55, service = (0.03, 0.05), aim = 0.8, deadline = 8, late = 0.1)
message_class(name = "print-order", share = 0.26, service = (0.02, 0.03), aim = 2, deadline = 12, effect = "keyed", memory = 7.2, late = 0.5)
message_class(name = "fee-payment", share = 0.19, service = (0.03, 0.05), aim = 2, deadline = 12, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 0.46)
tenant(name = "library-scores", share = 0.37)
tenant(name = "parks-concerts", share = 0.17)

trouble(what = "DOWN", at = 6, seconds = 5, part = 0.5)
