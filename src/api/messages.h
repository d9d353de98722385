// Codec of the Messages API in the versions of api/versions.h, per its public reference: parses requests and
// writes stream events, complete messages and errors. Only text is supported; other content is rejected with
// an error that names it. No I/O.
#pragma once

#include <memory>
#include <variant>

#include "api/chat.h"
#include "api/versions.h"

namespace gorsenotch::api::messages {

// Parses a body of POST /v1/messages. `count_only`: a body of count_tokens, where max_tokens is optional.
std::variant<ChatRequest, ApiError> parse(std::string_view body, bool count_only = false,
                                          const Version& version = kNewest);

// The body of an error response: {"type":"error","error":{...},"request_id":...}
std::string error_body(const ApiError& error, const std::string& request_id);

// The body of a count_tokens response.
std::string count_body(const ChatRequest& request);
// The body of GET /v1/models, with the API's paging fields `first_id`, `last_id` and `has_more`. One page has
// all models.
std::string models_body(const std::vector<std::string>& models);
// The body of GET /v1/models/{model}.
std::string model_body(const std::string& model);

// Writes a response as stream events. `id`: "msg_..."; `input_tokens`: the estimate, sent until the engine
// reports the exact count.
std::unique_ptr<ResponseWriter> streamed_response(std::string id, std::string model, long input_tokens,
                                                  std::string request_id);
// Collects the text and writes the complete body at the end. Text over `max_bytes` ends the response with an
// error.
std::unique_ptr<ResponseWriter> complete_response(std::string id, std::string model, std::string request_id,
                                                  std::size_t max_bytes);

}  // namespace gorsenotch::api::messages
