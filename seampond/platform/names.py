"""Names of the platform's headers, paths, tables and row states."""

from seampond.forwarding.models import HeaderNames

_REQUEST_ID = b'x-seampond-request-id'
_TOKEN_USAGE = b'x-seampond-token-usage'
_PROMPT_PREFIX = b'x-seampond-prompt-prefix'

HEADERS = HeaderNames(
    request_id=_REQUEST_ID,
    deadline=b'x-seampond-deadline-ms',
    tenant=b'x-seampond-tenant',
    instance=b'x-seampond-instance-id',
    expect_instance=b'x-seampond-expect-instance',
    stamp=b'x-seampond-server-stamp',
    load=b'x-seampond-server-load',
    not_run=b'x-seampond-not-executed',
    leaving=b'server-leaving',
    limit=b'server-limit',
    tokens=_TOKEN_USAGE,
    prompt=_PROMPT_PREFIX,
    last_event=b'last-event-id',
    resumes=b'resumes',
    scheme='token',
    # Callers may not send headers with these prefixes, except those below.
    reserved=(b'x-seampond-', b'kv-'),
    caller_settable=frozenset(
        (
            _REQUEST_ID,
            _TOKEN_USAGE,
            _PROMPT_PREFIX,
            b'x-seampond-model',
            b'x-seampond-length-hint',
        )
    ),
)

# Incremented each time the store is restored from a backup.
ERA_HEADER = b'store-era'

READY_PATH = '/ready'

TRANSACTION_PATH = '/rows-tx'
READ_PATH = '/rows-get'
FEED_PATH = '/rows-feed'

SINCE_PARAMETER = 'since-rev'
WAIT_PARAMETER = 'wait-ms'
START_PARAMETER = 'from'
KEY_FIELD = 'tls-key'
EXPECTED_FIELD = 'expected-rev'
REMOVED_FIELD = 'remove'

CONFIGURATION_TABLE = 'op'
CONFIGURATION_KEY = 'config'
SERVERS_TABLE = 'servers'
GATEWAYS_TABLE = 'gateways'
QUARANTINE_TABLE = 'quarantine'
STATUS_TABLE = 'status'
STREAMS_TABLE = 'streams'
# Rollout orders are in the configuration table, their states and steps in the
# status table; only gateways read and write steps.
ROLLOUT_PREFIX = 'rollout/'
STEP_PREFIX = 'rollout-step/'
# Keys of the streams' table: the versions of a pool, the streams of a gateway.
VERSIONS_PREFIX = 'versions/'
ORIGINS_PREFIX = 'origins/'

READY_STATE = 'ready'
DRAINING_STATE = 'draining'
TOKENS_UNIT = 'tokens'
