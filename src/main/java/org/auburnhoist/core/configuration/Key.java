package org.auburnhoist.core.configuration;

/**
 * An API key of a team; the fleet stores only the hash of its secret.
 *
 * @param id public part of the key, by which it is looked up
 * @param team name of the team that the key authenticates
 * @param secretSha256 lower-case hexadecimal SHA-256 of the secret part
 * @param withdrawn whether the key has been revoked
 */
public record Key(String id, String team, String secretSha256, boolean withdrawn) {}
