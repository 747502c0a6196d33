# One run of the test bench's "hollow-main" setup with one kind of fault, for comparisons with the results of the bench.
#
#     cleathold lab sim examples/scenarios/hollow-day.star --set trouble=1
#
# trouble: 0 no fault, 1 a zone refuses connections, 2 calls fail at once, 3 partners reject all calls, 4 calls are slow,
# 5 a traffic burst, 6 a few destinations get a larger share of the traffic.

trouble_of = param("trouble", 1)
level = param("level", 0.84)  # of full load

scenario(name = "hollow-day", seconds = 48, senders = 3, zones = ["bldg-a", "bldg-b"])

kind(name = "large-partners", limit = "rate", headroom = (1.3, 2.3), least = (2.1, 4.2), tells_wait = (0.62, 0.99),
     wait = (0.31, 0.99), batch = 5, apart = True)
kind(name = "small-partners", limit = "window", headroom = (1, 1.7), least = (1.5, 4.9), span = 1, refused_count = True,
     tells_wait = (0.1, 0.55), conns = (2.1, 3.8))

fleet(kind = "large-partners", destinations = (3, 5), weight = 2)
fleet(kind = "small-partners", destinations = (7, 10))

traffic(rate = 47, clumps = (0.11, 0.18), clump = (1.3, 3.2), retries = 1)
ramp(at = 0, factor = level)
message_class(name = "status", share = 0.55, service = (0.27, 0.47), aim = 0.8, deadline = 8, late = 0.1)
message_class(name = "print-order", share = 0.26, service = (0.18, 0.31), aim = 2, deadline = 20, effect = "keyed", memory = 12, late = 0.5)
message_class(name = "fee-payment", share = 0.19, service = (0.27, 0.47), aim = 2, deadline = 16, effect = "unsafe", late = 0.5, worth = 3)
tenant(name = "school-bands", share = 0.46)
tenant(name = "library-scores", share = 0.37)
tenant(name = "parks-concerts", share = 0.17)

def day():
    if trouble_of == 1:
        trouble(what = "DOWN", at = (10, 20), seconds = (6.5, 22), part = 0.27, zone = "bldg-b")
    elif trouble_of == 2:
        trouble(what = "FAILING", at = (10, 20), seconds = (6.9, 23), part = 0.29, share = (0.38, 0.92))
    elif trouble_of == 3:
        trouble(what = "SHUT", at = (10, 20), seconds = (6.9, 23), part = 0.29, knows_end = True)
    elif trouble_of == 4:
        trouble(what = "SLOW", at = (10, 20), seconds = (3.1, 13), factor = (1.6, 2.8))
    elif trouble_of == 5:
        burst(at = (10, 20), seconds = (2.3, 9.9), factor = (1.5, 2.4))
    elif trouble_of == 6:
        hot(at = (10, 20), seconds = (6, 20), share = (0.043, 0.23), destinations = 3)

day()
