package cottonlock.proxy.http;

/**
 * A request as it is written to a backend. Fields that are null are left out.
 *
 * @param method the method as the client sent it
 * @param target the target in origin form
 * @param requestId the client's id of the request
 * @param requestClass the name of its class
 * @param tenant the tenant's name
 * @param idempotencyKey the key by which backends detect a repeated execution
 * @param contentType the media type of the body
 * @param body the body, which remains owned by the caller
 */
public record OutboundRequest(
        String method,
        String target,
        String requestId,
        String requestClass,
        String tenant,
        String idempotencyKey,
        String contentType,
        MessageBody body) {}
