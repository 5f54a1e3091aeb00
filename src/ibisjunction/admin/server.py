"""The HTTP server for operators, upstreams and the platform's load balancer."""

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ibisjunction.admin.changes import (
    DrainHandler,
    RenewalsHandler,
    RevisionsHandler,
    UpstreamsHandler,
    VotersHandler,
)
from ibisjunction.admin.context import AdminContext
from ibisjunction.admin.inspection import (
    KeyHandler,
    MetricsHandler,
    ReadyHandler,
    StatusHandler,
    VmsHandler,
)
from ibisjunction.bodies.http_server import BoundedHttpServer

_ROUTES = (
    ('/ready', ReadyHandler),
    ('/metrics', MetricsHandler),
    ('/v1/status', StatusHandler),
    ('/v1/vms', VmsHandler),
    ('/v1/revisions', RevisionsHandler),
    ('/v1/services/([^/]+)/keys/(.+)', KeyHandler),
    ('/v1/services/([^/]+)/clients/([^/]+)/renewals', RenewalsHandler),
    ('/v1/voters', VotersHandler),
    ('/v1/upstreams', UpstreamsHandler),
    ('/v1/upstreams/([^/]+)/drain', DrainHandler),
)


def make_admin_server(context: AdminContext) -> HTTPServer:
    """Return a server that is not yet listening."""
    handler_arguments = {'context': context}
    routes = [(path, handler, handler_arguments) for path, handler in _ROUTES]
    return BoundedHttpServer(Application(routes, log_function=_skip_access_log))


def _skip_access_log(handler: RequestHandler) -> None:
    """Write nothing; the handlers log numbered events instead."""
