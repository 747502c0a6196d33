# A fleet of configurable size, to measure how the senders scale. The load of each endpoint stays the same as the fleet
# grows.
#
#     cleathold lab sim examples/scenarios/large.star --set endpoints=1000 --set senders=40

endpoints = param("endpoints", 100)
senders = param("senders", 4)
seconds = param("seconds", 60)
each = param("each", 1.8)  # messages per second and endpoint

scenario(name = "large", seconds = seconds, senders = senders, zones = ["bldg-a", "bldg-b"])

# A destination has 2.2 endpoints on average.
large = max(1, int(endpoints / 2.2 / 3))
small = max(1, int(endpoints / 2.2) - large)

kind(name = "large-partners", limit = "rate", headroom = (1.3, 2.3), least = (2.1, 4.2), tells_wait = (0.62, 0.99),
     wait = (0.31, 0.99), batch = 5, apart = True)
kind(name = "small-partners", limit = "window", headroom = (1, 1.7), least = (1.5, 4.9), span = 1, refused_count = True,
     tells_wait = (0.1, 0.55), conns = (2.1, 3.8))
fleet(kind = "large-partners", destinations = large, weight = 2)
fleet(kind = "small-partners", destinations = small)

traffic(rate = endpoints * each, zipf = (0.6, 0.8), clumps = (0.11, 0.18), clump = (1.3, 3.2), retries = 2)
ramp(at = 0, factor = 0.8)
message_class(name = "status", share = 0.55, service = (0.27, 0.47), aim = 0.8, deadline = 8, late = 0.1)
message_class(name = "print-order", share = 0.26, service = (0.18, 0.31), aim = 2, deadline = 20, effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.19, service = (0.27, 0.47), aim = 2, deadline = 16, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 0.46)
tenant(name = "library-scores", share = 0.37)
tenant(name = "parks-concerts", share = 0.17)

trouble(what = "DOWN", at = 0.3 * seconds, seconds = 0.2 * seconds, part = 0.25, zone = "bldg-b")
