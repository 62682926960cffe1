"""Status page of a gateway."""

from seampond.gateway.components import GatewayComponents


def build_status(components: GatewayComponents) -> dict[str, object]:
    """Return the content of ``/status``."""
    now_ms = components.clock.now()
    admission = components.web.admission
    servers = [
        {
            'id': backend.server.id,
            'pool': backend.server.pool,
            'zone': backend.server.zone,
            'takes_work': backend.takes_work,
            'leaves': backend.is_draining,
            'wants_rest': backend.signals.is_backing_off(now_ms),
            'limit': backend.signals.limit.rate,
            'in_flight': backend.in_flight,
            'load': backend.load(now_ms),
            'gap_ms': round(backend.speed.gap_ms, 1),
            'service_ms': round(backend.speed.service_ms, 1),
            'failures': backend.consecutive_failures,
        }
        for backend in components.backends
    ]
    return {
        'name': components.settings.name,
        'zone': components.settings.zone,
        'ready': components.is_ready,
        'stopping': components.web.is_stopping,
        'version': admission.version,
        'proof_age_ms': admission.proof_age_ms,
        'open': components.web.open_requests,
        'waiting': components.scheduler.waiting,
        'servers': servers,
        'rollouts': [
            {
                'pool': rollout.order.pool,
                'target': rollout.order.target,
                'stage': rollout.stage.name,
                'reason': rollout.reason,
                'sent': rollout.exposure.sent,
                'exposed': rollout.exposure.exposed,
                'answers': rollout.evidence.new_answers.answers,
                'bad': rollout.evidence.new_answers.bad,
            }
            for rollout in components.rollout_follower.manager.running
        ],
    }
