# Compiler warnings that every target of the workspace uses.
function(egrettrestle_warnings target)
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Wshadow -Wconversion -Wno-sign-conversion)
    if(EGRETTRESTLE_WARNINGS_AS_ERRORS)
        target_compile_options(${target} PRIVATE -Werror)
    endif()
endfunction()

# Declares one library of the workspace: its sources are all files in src/, its public headers are in include/.
function(egrettrestle_package name)
    cmake_parse_arguments(PACKAGE "" "" "LINK" ${ARGN})
    file(GLOB_RECURSE sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(egrettrestle-${name} STATIC ${sources})
    target_include_directories(egrettrestle-${name} PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include)
    target_link_libraries(egrettrestle-${name} PUBLIC ${PACKAGE_LINK})
    egrettrestle_warnings(egrettrestle-${name})
endfunction()
