"""The platform's names, row formats and store calls."""

from seampond.platform.configuration import (
    parse_configuration as parse_configuration,
)
from seampond.platform.names import HEADERS as HEADERS
from seampond.platform.names import READY_PATH as READY_PATH
from seampond.platform.servers import parse_server as parse_server
from seampond.platform.store import Store as Store
from seampond.platform.store import open_table as open_table
