# Partners hang: calls that carry a part of the traffic are accepted and never answered. Fee payments among them may
# have taken effect and must not be sent twice.

scenario(name = "payment-hangs", seconds = 60, senders = 3, zones = ["bldg-a", "bldg-b"])

kind(name = "large-partners", limit = "rate", headroom = (1.3, 2.3), least = (2.1, 4.2), tells_wait = (0.62, 0.99),
     wait = (0.31, 0.99), batch = 5, apart = True)
kind(name = "small-partners", limit = "window", headroom = (1, 1.7), least = (1.5, 4.9), span = 1, refused_count = True,
     tells_wait = (0.1, 0.55), conns = (2.1, 3.8))

fleet(kind = "large-partners", destinations = (3, 5), weight = 2)
fleet(kind = "small-partners", destinations = (7, 10))

traffic(rate = 47, clumps = (0.11, 0.18), clump = (1.3, 3.2), retries = 2)
ramp(at = 0, factor = 0.8)
message_class(name = "status", share = 0.55, service = (0.27, 0.47), aim = 0.8, deadline = 8, late = 0.1)
message_class(name = "print-order", share = 0.26, service = (0.18, 0.31), aim = 2, deadline = 20, effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.19, service = (0.27, 0.47), aim = 2, deadline = 16, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 0.46)
tenant(name = "library-scores", share = 0.37)
tenant(name = "parks-concerts", share = 0.17)

trouble(what = "SILENT", at = (10, 15), seconds = (15, 20), part = 0.2)
