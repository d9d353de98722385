#include "cli/gateway_process.h"

#include <iostream>

#include "log/log.h"

namespace gorsenotch::cli {

std::string base_url(const std::string& listen, int port) {
    return "http://" + listen.substr(0, listen.rfind(':')) + ":" + std::to_string(port);
}

LogThread::LogThread(const std::string& level) { log::open(level); }

LogThread::~LogThread() { log::close(); }

GatewayProcess::GatewayProcess(net::EventLoop& loop, settings::ProgramSettings program,
                               const gateway::ServeOptions& options)
    : loop_(loop), listen_(program.listen), gateway_(loop, std::move(program), options) {}

bool GatewayProcess::start() {
    if (const int error = gateway_.start()) {
        std::cerr << listen_ << ": " << net::error_text(error) << '\n';
        return false;
    }
    std::cout << "ready " << base_url(listen_, gateway_.port()) << std::endl;
    return true;
}

void GatewayProcess::stop() {
    if (is_draining_) return loop_.stop();
    is_draining_ = true;
    gateway_.drain([this] { loop_.stop(); });
}

}  // namespace gorsenotch::cli
