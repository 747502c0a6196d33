# Example settings script for a sender that keeps undeliverable messages in a dead-letter queue. The command in
# deploy/balancer.toml does not name this file; without a settings script, the dead-letter queue and the admin socket
# are off.
#
#     cleathold check --settings deploy/hollow.star
#     cleathold serve --config FILE --settings deploy/hollow.star
#
# Paths that don't begin with a slash are relative to this file's folder.

held(
    folder = "/tmp/cleathold-held",
    max_bytes = 256 * MB,
    max_records = 100000,
    max_age = 7 * DAY,
    keep_ended = 1 * DAY,
    queue = 256,
)

admin(socket = "/tmp/cleathold-admin.sock")

# Redelivery uses at most half of the calls that a partner accepts, and an order for it expires after ten minutes.
resend(share = 0.5, within = 10 * MINUTE, max_out = 8)

def hold(record, partner):
    """Who gets a message that ends undelivered: the store, or its client."""
    if record.message_class == "status":
        return GIVE_BACK  # has no value any more when it could be sent
    if record.deferred and partner.failing < 10:
        return GIVE_BACK  # a short outage: the client can resubmit the message soon
    return HOLD

def after(record, partner):
    """What becomes of a held record."""
    if record.message_class == "fee-payment":
        return keep()  # only an operator may resend or drop it
    if record.resends >= 5:
        return keep(1 * HOUR)
    if partner.wait_left > 0:
        return keep(partner.wait_left + 1)
    return again(within = 10 * MINUTE)
