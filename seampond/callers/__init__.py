"""The HTTP interface to callers."""

from seampond.callers.admission import AdmissionContext as AdmissionContext
from seampond.callers.app import make_caller_app as make_caller_app
