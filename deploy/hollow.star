# Settings of our own for a sender that keeps what it could not deliver. The
# platform of deploy/balancer.toml does not name this file: there all of it is off.
#
#     cleathold check --settings deploy/hollow.star
#     cleathold serve --config FILE --settings deploy/hollow.star
#
# Paths are as seen from this file's folder, if they don't begin with a slash.

held(
    folder = "/tmp/cleathold-held",
    max_bytes = 256 * MB,
    max_records = 100000,
    max_age = 7 * DAY,
    keep_ended = 1 * DAY,
    queue = 256,
)

admin(socket = "/tmp/cleathold-admin.sock")

# Resends use at most half of what a partner takes, and an order stands for ten minutes.
resend(share = 0.5, within = 10 * MINUTE, max_out = 8)

def hold(record, partner):
    """Who gets a message that ends undelivered: the store, or its client."""
    if record.message_class == "status":
        return GIVE_BACK  # worth nothing by the time it could be sent
    if record.deferred and partner.failing < 10:
        return GIVE_BACK  # a short trouble: its client hands it in again soon enough
    return HOLD

def after(record, partner):
    """What becomes of a held record."""
    if record.message_class == "fee-payment":
        return keep()  # an operator decides
    if record.resends >= 5:
        return keep(1 * HOUR)
    if partner.wait_left > 0:
        return keep(partner.wait_left + 1)
    return again(within = 10 * MINUTE)
