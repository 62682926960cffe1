"""Configuration of templates and workspaces, by generation."""

from seampond.templates.configuration import Configuration as Configuration
from seampond.templates.models import Parameters as Parameters
from seampond.templates.models import Template as Template
from seampond.templates.models import Workspace as Workspace
